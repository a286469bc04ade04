Feature: Settings that change while a process runs reach all that use them

  Scenario Outline: an entry whose seeds change <how> refuses a withdrawn key that only its peers know of
    Given an entry process before 1 app servers and 1 llm servers that serves as a peer
    And an entry process that knows <seeds>
    When its settings name the peer, <how>
    And the store turns it away while a key is withdrawn
    Then it refuses the withdrawn key within 7 seconds of that

    Examples:
      | how                                    | seeds                     |
      | and a reload signal comes              | only seeds that are gone  |
      | without a signal                       | only seeds that are gone  |
      | without a signal                       | no seeds                  |
      | after a time in which they are invalid | only seeds that are gone  |

  Scenario: settings that change while the process starts are in force soon, without a signal
    Given a settings file that was read and has changed since
    When the task that watches it starts
    Then the changed settings are in force within 4 seconds

  Scenario: an own address that changes waits for the next start, and the log says so
    Given an entry process before 1 app servers and 1 llm servers
    When the settings file names another address for callers
    Then event E631 is logged and says that listen_address needs a restart
    And it is ready, and serves a read

  Scenario: an entry follows the store at its new address
    Given an entry before 1 app servers and 1 llm servers
    When its settings name another store, in which app server 1 drains
    Then app server 1 is draining within 4 seconds

  Scenario: another limit of memory holds for the next body
    Given an entry before 1 app servers and 1 llm servers
    When its settings allow 1000000 bytes of memory
    Then a write of 500000 bytes is answered 503
    When its settings allow 100000000 bytes of memory
    Then a write of 500000 bytes is answered 200

  Scenario: another number of descriptors holds for the next connections
    Given an entry before 1 app servers and 1 llm servers
    And servers that hang
    When its settings allow 4 descriptors
    Then 2 of 5 requests on connections of their own run at once
    When its settings allow 10 descriptors
    Then 5 of 5 requests on connections of their own run at once
    When its settings allow 4 descriptors
    And their connections close
    Then 2 of 5 requests on connections of their own run at once

  Scenario: another limit for cold targets holds for those that are cold already
    Given an entry before 1 app servers and 1 llm servers
    And llm server 1 is cold
    When its settings allow 200 requests at a cold target
    Then the limit of llm server 1 is 200 and its share

  Scenario: the number of entries is unknown after a change to seeds that were not heard
    Given a load exchange that has heard one of its two seeds
    Then it counts 2 entries
    When its seeds change to the one that it has heard
    Then it counts 2 entries
    When its seeds change to one that it has not heard
    Then it counts 0 entries
    And it counts 2 entries 2.5 seconds later

  Scenario: a reload does not hand out the retry budget anew, and another ratio holds at once
    Given a dispatcher that has spent its retry budget
    When its settings are read again unchanged
    Then it allows no retry
    When its settings allow a retry for each request
    Then it allows a retry
