Feature: Outages take away as little as possible

  Scenario: The platform is down
    Given the platform is down
    Then reads and model calls get whole answers
    And an order is refused as not run
    And no order ran
    When the platform is up again
    Then an order gets an answer

  Scenario: A data centre is taken out of service while the platform is down
    Given load on all routers
    And the platform is down
    When almelo is out of service for 7 s
    And the load stops
    Then almelo got no new work after 3 s
    And all answers were whole or marked as errors

  Scenario: A backend server dies in the middle of a stream
    Given engines of which the next stream dies after 3 events
    When a stream is asked for
    Then the stream is whole
    And two servers ran it
