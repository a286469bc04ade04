Feature: Models of what entries share without talking to each other

  Scenario: memory set aside is freed on every path
    When the specification of tickets is explored
    Then it holds in every state

  Scenario Outline: tickets without one rule lose memory or cut a request
    When the specification of tickets is explored without "<guard>"
    Then the checker shows how it fails

    Examples:
      | guard           |
      | has_short_lease |
      | renews          |
      | repeats_release |

  Scenario: a cold target gets what it bears from entries that do not know each other
    When the specification of shares is explored
    Then it holds in every state

  Scenario Outline: shares without one rule overrun a cold target
    When the specification of shares is explored without "<guard>"
    Then the checker shows how it fails

    Examples:
      | guard           |
      | divides         |
      | restarts_slowly |
      | remembers       |

  Scenario: the real share holds for as many entries as the largest fleet has
    When 32 entries send to a target that bears 44 requests a second as fast as they may
    Then no second has more than 44 requests
    And each entry sent at least 4 requests in 5 seconds

  Scenario: the real budget keeps repeats to the published share
    When entries with 1000 requests in 30 seconds repeat as often as they may
    Then no window of 10 seconds has more repeats than a fifth of its requests and 3 an entry
