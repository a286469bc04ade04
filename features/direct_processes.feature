Feature: The entry as a process on the platform

  Scenario: it starts from the platform's settings and serves
    Given an entry process before 1 app servers and 1 llm servers
    Then it is ready, and serves a read
    And its metrics count the request
    And each of its log lines is JSON with the number of its event

  Scenario: a planned stop finishes the requests in flight
    Given an entry process before 1 app servers and 1 llm servers
    And llm servers write an event each 0.3 seconds
    When a stream has begun and a stop signal comes
    Then it is not ready within 0.3 seconds
    And a request on an open connection is answered with Connection: close
    And the stream is complete
    And a request 3.2 seconds after the signal is refused or its connection closed, and no server receives it
    And the process ends with code 0 within 8 seconds

  Scenario: a second SIGTERM cuts off the requests in flight
    Given an entry process before 1 app servers and 1 llm servers
    And llm servers write an event each 0.3 seconds
    When a stream has begun and a stop signal comes
    And another one comes after 0.2 seconds
    Then a request on an open connection is answered with Connection: close
    And the stream is complete
    And the process ends with code 0 within 8 seconds

  Scenario: SIGINT does not end a process that stops, or cuts off its callers without an answer
    Given an entry process before 1 app servers and 1 llm servers
    And the next llm servers do: hang
    When a stream waits and SIGTERM and SIGINT come
    Then the process ends with code 0 within 1 seconds
    And the caller of the stream has a final answer

  Scenario: changed settings are read with and without a signal
    Given an entry process before 1 app servers and 1 llm servers
    When the settings file changes and a reload signal comes
    Then event E631 is logged as valid
    When the settings file becomes invalid
    Then event E631 is logged as invalid
    And it is ready, and serves a read

  Scenario: a reload signal ends a process that still starts
    Given an entry process before 1 app servers and 1 llm servers
    When it is killed and started again, with reload signals from its first imports on
    Then it is ready, and serves a read

  Scenario: a killed process starts again and serves
    Given an entry process before 1 app servers and 1 llm servers
    When it is killed and started again
    Then it is ready, and serves a read

  Scenario Outline: invalid settings stop the start with a clear error
    When a process starts with <settings>
    Then it exits with code 2 and its error contains <word>

    Examples:
      | settings         | word                  |
      | no path          | BUCKTHORNPOND_CONFIG  |
      | a missing file   | No such file          |
      | no YAML          | settings              |
      | no store         | platform              |
      | a text as a zone | zones                 |

  Scenario: a log output that is not read delays no requests
    Given an entry process before 1 app servers and 1 llm servers whose log output is not read
    When 3000 reads are sent on 8 connections
    Then all are answered within 20 seconds
    And its metrics show dropped log lines
