Feature: Routers stop, freeze and start again

  Scenario: All routers are restarted gracefully under load
    Given load on all routers
    When each router is restarted gracefully
    And the load stops
    Then no request was interrupted
    And all responses were complete or marked as errors

  Scenario: A frozen pool owner resumes
    Given load on all routers
    When the owner of a model pool is frozen for 4.5 s
    And the load continues for 3 s
    And the load stops
    Then no engine ran more requests than its slots
    And no client account waited 10 s without service
