Feature: Orders run at most once

  Scenario: The first router is killed after its claim
    Given applications that respond after 4 s
    When an order is sent to the first router
    And the first router is killed while the order runs
    And the order is sent again to the second router
    Then the repeated order is rejected with an unknown outcome
    And the order ran once
