Feature: Routers come and go

  Scenario: All routers are restarted gracefully under load
    Given load on all routers
    When each router is restarted gracefully
    And the load stops
    Then no request was cut
    And all answers were whole or marked as errors

  Scenario: A frozen pool owner comes back
    Given load on all routers
    When the owner of a model pool is frozen for 4.5 s
    And the load goes on for 3 s
    And the load stops
    Then no engine ran more requests than its slots
    And no account waited 10 s without service
