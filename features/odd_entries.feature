Feature: Entries of the store that another writer left among those of the servers

  Scenario Outline: one odd entry neither ends the entry nor stops it following the others
    Given an entry before 1 app servers and 0 llm servers
    And another writer leaves among the servers: <odd>
    When a new app server registers and the first one leaves
    And a caller gets /read/1 8 times
    Then each answer belongs to its request
    And the new server answered all of them
    And no task of the entry failed
    And the log names the odd entry

    Examples:
      | odd                                        |
      | deeply nested lists                        |
      | deeply nested lists in a known field       |
      | deeply nested tables in an unknown field   |
      | a number of 5000 digits                    |
      | a number beyond floating point             |
      | a start beyond 64 bits                     |
      | a cold time of 1e300                       |
      | a cold time of -1                          |
      | slots of 1e18                              |
      | slots of -3                                |
      | port 70000                                 |
      | port 0                                     |
      | port -1                                    |
      | port of 5000 digits                        |
      | no port                                    |
      | a host name                                |
      | an address of 300 in a part                |
      | bytes that are no text                     |
      | an empty value                             |
      | no field version                           |
      | no field slots                             |
      | no field coldRemainingMs                   |
      | no field sequence                          |
      | a version that is a number                 |

  Scenario: a value that is no base64 names no server
    Given an entry before 1 app servers and 0 llm servers
    And another writer leaves a value that is no base64
    When a new app server registers and the first one leaves
    And a caller gets /read/1 8 times
    Then the new server answered all of them
    And no task of the entry failed

  Scenario: a hint that is nested deeply ends no entry
    Given an entry with load hints before 1 app servers
    When any host sends it hints that are nested 20000 deep
    And a caller gets /read/1 8 times
    Then each answer belongs to its request
    And no task of the entry failed
    And the entry counted malformed hints

  Scenario Outline: a hint whose times are beyond all clocks ends no entry
    Given an entry with load hints before 1 app servers
    When any host sends it hints of <told> with times of 2 to the power of 62
    And a caller gets /read/1 8 times
    Then each answer belongs to its request
    And no task of the entry failed
    And the entry counted malformed hints

    Examples:
      | told            |
      | crashes         |
      | suspects        |
      | quarantines     |
      | answered parts  |
      | limits          |
      | waiting prompts |
      | due events      |
