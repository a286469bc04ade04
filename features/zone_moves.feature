Feature: Availability zone moves under load, on a fake clock

  Scenario: an availability zone leaves and returns
    Given the load of ravi at 50 percent of capacity with seeds 0 to 0
    When a zone is drained, drained behind the entries' backs, and killed under the shipped policies
    Then a drain cuts no answer before its deadline
    And after a kill goodput is back within 5 seconds
    And no returned target fell over

  Scenario: a drain costs no answer
    Given the load of ravi at 50 percent of capacity with seeds 0 to 1
    When a zone is drained, drained behind the entries' backs, and killed under the shipped policies
    Then a drain fails no more requests than the same load without it
