Feature: Tasks that are cancelled end at once

  Scenario: a task that does not end when it is cancelled is not named in the log
    Given a supervisor with a task "steady" that ends and a task "stuck" that does not
    When the supervisor stops its tasks
    Then the stop fails with an error that names "stuck" only
    And the log names "stuck" only, and the call in which it waits

  Scenario Outline: an open connection to an entry holds up the end of its tasks
    Given an entry that shares its view with a peer
    And a connection to its <listener> address has sent <sent>
    When the tasks of the entry are cancelled
    Then all tasks of the entry have ended
    And the connection is closed

    Examples:
      | listener       | sent                    |
      | administration | nothing                 |
      | administration | half a head             |
      | exchange       | nothing                 |
      | exchange       | half a head             |
      | caller         | nothing                 |
      | caller         | half a head             |
      | caller         | half a body             |
      | caller         | a request that hangs    |
      | caller         | a stream without end    |
      | caller         | a request that is wrong |

  Scenario: a peer that asks for the view of an ending entry holds up the end of its tasks
    Given an entry that shares its view with a peer
    And a connection to its exchange address has sent nothing
    When the peer asks for its view just before the tasks of the entry are cancelled
    Then all tasks of the entry have ended
    And the connection is closed

  Scenario Outline: a store or a peer that does not answer holds up the end of an entry's tasks
    Given an entry that shares its view with a peer
    When the tasks of the entry are cancelled while <what>
    Then all tasks of the entry have ended

    Examples:
      | what                           |
      | a watch waits                  |
      | the store refuses every call   |
      | the store resets every call    |
      | the store answers nothing      |
      | the store accepts nothing      |
      | the store sends a reply slowly |
      | its peer answers nothing       |
