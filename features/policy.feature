Feature: Policy under load, on a fake clock with fixed seeds

  Scenario Outline: long prompts do not slow short ones down
    Given the load of <mix> at 70 percent of capacity with seeds 0 to 1
    When it runs with and without long prompts under random-fifo
    And it runs with and without long prompts under the shipped policies
    Then the p99 slowdown of short prompts under the shipped policies is within 1.2 of the load without long prompts
    And under random-fifo it is beyond that bound
    And no short prompt is refused or late under the shipped policies
    And every long prompt that an engine can hold finishes in time

    Examples:
      | mix     |
      | nilwave |
      | ravi    |

  Scenario: overload is refused early and goodput does not fall
    Given the load of nilwave at 200 percent of capacity with seeds 0 to 0
    When goodput is measured at 100 and 200 percent under two-shortest
    And goodput is measured at 100 and 200 percent under the shipped policies
    Then goodput at 200 percent under the shipped policies is at least that at 100 percent
    And under two-shortest goodput falls
    And at most 5 percent of the requests under the shipped policies fail late
    And no short prompt is refused or late at 200 percent under the shipped policies

  Scenario Outline: sixteen entries do not overload a target that has just started
    Given 16 entries before 4 targets at 90 percent of capacity, seed <seed>
    And one target that has just started
    When the load runs under fitting-fixed-limit
    Then the fresh target crashed
    When the load runs under the shipped policies
    Then the fresh target never held more than its cold limit and is warm at the end

    Examples:
      | seed |
      | 0    |
      | 1    |

  Scenario Outline: a target that turns cold without reporting it is detected
    Given 16 entries before 4 targets at 90 percent of capacity, seed <seed>
    And one target that turns cold in the middle of the load
    When the load runs under fitting-fixed-limit
    Then the cold target crashed repeatedly
    When the load runs under the shipped policies
    Then the cold target crashed at most once and is warm at the end

    Examples:
      | seed |
      | 0    |
      | 1    |
