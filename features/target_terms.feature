Feature: What a target says of itself binds whoever has heard it

  # Requests went on to a target that had said it leaves, until the store said so too.
  Scenario: a target that says it leaves gets further requests while the store does not know
    Given an entry before 3 app servers and 1 llm servers
    When app server 1 states "Server-Leaving: 1" and 6 callers read for 2 seconds
    Then app server 1 got nothing later than 0.3 seconds after its first answer
    And every read was answered 200

  Scenario: callers wait or are misled when all targets leave
    Given an entry before 1 app servers and 1 llm servers
    When app server 1 states "Server-Leaving: 1" and 2 callers read for 1 seconds
    Then each read after the first ones was refused at once as "no_target"
    When another app server is registered and 2 callers read for 1 seconds
    Then every read was answered 200

  Scenario: a new start of a target is bound by what an earlier one said
    Given an entry before 2 app servers and 1 llm servers
    When app server 1 states "Server-Leaving: 1" and 2 callers read for 1 seconds
    And app server 1 starts anew and 4 callers read for 1 seconds
    Then app server 1 got more than 5 requests

  # A target that refused got the next requests at once, as it was the quickest.
  Scenario: a target that wants nothing for a while gets requests in that time
    Given an entry before 3 app servers and 1 llm servers
    And app server 1 sheds all requests
    When app server 1 states "Retry-After: 2" and 6 callers read for 5 seconds
    Then app server 1 got at most 2 requests between half a second and 2 seconds after each refusal
    And every read was answered 200

  Scenario: callers are held when no target wants anything
    Given an entry before 1 app servers and 1 llm servers
    And app server 1 sheds all requests
    When app server 1 states "Retry-After: 2" and 4 callers read for 3 seconds
    Then each read was refused at once, with different times to return
    And app server 1 got at most 2 requests between half a second and 2 seconds after each refusal

  Scenario Outline: a malformed statement binds, or goes uncounted
    Given an entry before 1 app servers and 1 llm servers
    When app server 1 states "<line>" and 2 callers read for 1 seconds
    Then every read was answered 200
    And the entry counted <counter> malformed statements of "<name>"

    Examples:
      | line                                  | counter | name    |
      | Server-Leaving: 0                     | some    | leaving |
      | Server-Leaving: true                  | some    | leaving |
      | Server-Leaving:                       | some    | leaving |
      | Server-Leaving: 1 / Server-Leaving: 0 | some    | leaving |
      | Retry-After: 30                       | no      | backoff |
      | Retry-After: nan                      | no      | backoff |

  Scenario Outline: a statement is read wrongly
    When a response <status> states "<line>"
    Then it says: leaving <leaving>, backoff <backoff> ms, malformed "<malformed>"

    Examples:
      | status | line                                   | leaving | backoff      | malformed |
      | 200    | Server-Leaving: 1                      | yes     | 0            |           |
      | 503    | server-leaving:  1                     | yes     | 0            |           |
      | 200    | Server-Leaving: 1 / Server-Leaving: 1  | yes     | 0            |           |
      | 200    | Server-Leaving: 1 / Server-Limit: nan  | yes     | 0            | limit     |
      | 503    | Retry-After: 1.5                       | no      | 1500         |           |
      | 503    | Retry-After: 0                         | no      | 0            |           |
      | 503    | Retry-After: 999999999                 | no      | 999999999000 |           |
      | 503    | Retry-After: -1                        | no      | 0            | backoff   |
      | 503    | Retry-After: 1e9                       | no      | 0            | backoff   |
      | 503    | Retry-After: nan                       | no      | 0            | backoff   |
      | 503    | Retry-After: Mon, 07 Dec 2026 01:00:00 GMT | no  | 0            | backoff   |
      | 503    | Retry-After: 1 / Retry-After: 2        | no      | 0            | backoff   |

  Scenario: one faulty response takes a target out of use for good
    Given 1 entries that know 1 target
    When entry 1 hears that the target wants nothing for 999999999 ms
    Then entry 1 may send to it again 600 seconds later, and not before

  Scenario Outline: a target that lapsed and came back is no longer bound by its word
    Given 1 entries that know 1 target
    When entry 1 hears that the target <statement>
    And the target is removed and listed again with the same start
    Then entry 1 may not send to it

    Examples:
      | statement                      |
      | leaves                         |
      | wants nothing for 5000 ms      |
      | takes 0 requests a second      |

  Scenario: other entries try a target that has told one entry that it leaves
    Given 3 entries that know 1 target
    When entry 1 hears that the target leaves
    And the entries exchange hints
    Then no entry may send to it
    When the target starts again
    And the entries exchange hints
    Then every entry may send to it
