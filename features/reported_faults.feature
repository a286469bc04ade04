Feature: Faults that operators of similar systems reported cannot happen here

  Each scenario runs the real entry process.

  Scenario: a late copy of an answer never reaches the next caller on that connection
    Given an entry process before 1 app servers and 1 llm servers
    And its servers always do: late_copy
    When 20 writes are sent one after another
    Then each was answered 200 with its own answer
    And no write ran more than once

  Scenario: an answer that does not say to which request it belongs is not believed
    Given an entry process before 1 app servers and 1 llm servers
    And its servers always do: unnamed_copy
    When 20 writes are sent one after another
    Then none was answered with the answer of another
    And no write ran more than once

  Scenario: a caller that uses an attempt ID twice gets both answers
    Given an entry process before 1 app servers and 1 llm servers
    When 5 writes are sent one after another with the same attempt ID
    Then each was answered 200

  Scenario: a planned stop under load cuts off no request
    Given an entry process before 2 app servers and 1 llm servers
    When a stop signal comes while 16 callers send reads and writes on kept connections
    And a caller begins a body before the stop and ends it 3.3 seconds later
    Then the process ends with code 0 within 8 seconds
    And no request sent more than 0.2 seconds before the end lacks an answer
    And no server ran a request that lacks an answer
    And the body that came late was answered

  Scenario: writes that come late in the grace of a planned stop get a true answer
    Given an entry process before 2 app servers and 1 llm servers
    And the routes' time limit is 20000 ms from now on
    And its servers always do: hang
    When a stop signal comes and 12 callers send a write each in the 6 seconds after it
    Then the process ends with code 0 within 8 seconds
    And each write got an answer
    And no write that a server ran was answered as not run
    And the writes of the last 2 seconds reached no server

  Scenario Outline: a slow but sound stream is not cut
    Given an entry process before 1 app servers and 2 llm servers
    And llm servers write an event each <interval> seconds
    When a caller reads a stream on the <route> route
    Then the stream has events 1 to 4 and its end
    And <runs> servers ran it

    Examples:
      | route     | interval | runs   |
      | stream    | 0.5      | 1      |
      | stream    | 1.3      | 1 to 2 |
      | once-only | 1.3      | 1      |

  Scenario Outline: a stalled stream that sends a byte now and then ends
    Given an entry process before 1 app servers and 2 llm servers
    And the next llm servers do: <behaviour>
    When a caller reads a stream on the <route> route
    Then <result>
    And it took at most <seconds> seconds

    Examples:
      | route     | behaviour | result                               | seconds |
      | stream    | drip      | the stream has events 1 to 4 and its end | 3.5 |
      | stream    | comment   | the stream has events 1 to 4 and its end | 3.5 |
      | once-only | drip      | the stream is incomplete             | 6.5     |
      | once-only | comment   | the stream is incomplete             | 6.5     |

  Scenario Outline: work at a target that is missing from the store is neither repeated nor given up
    Given an entry process before 1 app servers and 2 llm servers
    And llm servers write an event each 0.4 seconds
    When a caller reads a stream on the <route> route while the records of all servers <change>
    Then the stream has events 1 to 4 and its end
    And 1 servers ran it

    Examples:
      | route     | change           |
      | stream    | disappear        |
      | stream    | drain            |
      | once-only | disappear        |
      | once-only | come back as new |

  Scenario Outline: an answer that broke off never looks complete
    Given an entry process before 1 app servers and 1 llm servers
    And its servers always do: <behaviour>
    When a caller with HTTP/<version> <action>
    Then its answer is not a complete success

    Examples:
      | behaviour | version | action                |
      | cut       | 1.1     | reads a stream        |
      | cut       | 1.0     | reads a stream        |
      | cut_event | 1.0     | reads a stream        |
      | cut       | 1.1     | writes                |
      | cut       | 1.0     | writes                |
      | drip      | 1.0     | reads a stream        |

  Scenario: a restarted entry uses no withdrawn key and no server that has left
    Given an entry process before 2 app servers and 1 llm servers that serves as a peer
    And a second peer process that lost the store before a key was withdrawn and a server left
    When the store is away and 4 entry processes start that know both peers
    Then they refuse the withdrawn key and serve the new one
    And the server that left receives nothing
