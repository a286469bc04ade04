Feature: Models of at-most-once execution and of reported outcomes

  Scenario Outline: no key runs twice in any state
    When the specification of keys is explored with <versions> versions and <restarts> restarts
    Then every state was explored and the key runs at most once

    Examples:
      | versions | restarts |
      | 2        | 1        |
      | 3        | 0        |

  Scenario Outline: a specification without one guard runs a key twice
    When the specification of keys is explored with <versions> versions, <restarts> restarts and without "<guard>"
    Then the checker finds a state in which the key ran twice

    Examples:
      | guard                  | versions | restarts |
      | fences_earlier_homes   | 2        | 1        |
      | records_fences         | 2        | 1        |
      | quarantines            | 2        | 1        |
      | yields_to_newer        | 3        | 0        |
      | refuses_unanswered     | 2        | 1        |
      | checks_deadline        | 2        | 1        |
      | keeps_reported_version | 2        | 1        |

  Scenario: the implementation follows the specification on every step
    When the implementation is run along every step with 2 versions and no restart
    Then no step differs

  Scenario: the implementation follows the specification on random walks
    When the implementation is run along 8000 walks of 30 steps with 3 versions and 2 restarts
    Then no step differs

  Scenario: a home without fences violates the specification
    When homes without fences are run along the same walks
    Then a step differs

  Scenario: "not run" is true in every state
    When the specification of outcome queries is explored
    Then every state was explored and "not run" is true

  Scenario Outline: a specification of outcome queries without one guard reports a false "not run"
    When the specification of outcome queries is explored without "<guard>"
    Then the checker finds a false "not run"

    Examples:
      | guard              |
      | bars               |
      | remembers_end      |
      | checks_incarnation |
