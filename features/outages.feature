Feature: Outages affect as little of the service as possible

  Scenario: The platform is down
    Given the platform is down
    Then reads and model calls get complete responses
    And an order is rejected as not run
    And no order ran
    When the platform is up again
    Then an order gets a complete response

  Scenario: A data centre is taken out of service while the platform is down
    Given load on all routers
    And the platform is down
    When almelo is out of service for 7 s
    And the load stops
    Then almelo received no new work after 3 s
    And all responses were complete or marked as errors

  Scenario: A backend server fails in the middle of a stream
    Given engines that abort their next stream after 3 events
    When a stream is requested
    Then the stream is complete
    And at least two backend servers ran it
