Feature: Availability zone moves under load, on a fake clock

  Scenario: an availability zone leaves and returns
    Given the load of ravi at 50 percent of capacity with seeds 0 to 0
    When a zone is drained, drained while the entries have stale rules, and killed under the shipped policies
    Then a drain truncates no response before its deadline
    And goodput recovers within 5 seconds after a kill
    And no returned target crashed

  Scenario: a drain fails no additional request
    Given the load of ravi at 50 percent of capacity with seeds 0 to 1
    When a zone is drained, drained while the entries have stale rules, and killed under the shipped policies
    Then a drain fails no more requests than the same load without it
