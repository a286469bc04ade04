Feature: A key runs at most once and refusals report the true outcome

  Scenario Outline: a lot is accepted once although its home moves and restarts
    Given two homes that are "<kind>"
    When the key is used, <events>, and the key is used again
    Then the lot was accepted <runs> times

    Examples:
      | kind      | events                               | runs |
      | forgetful | the home moves                       | 2    |
      | fencing   | the home moves                       | 1    |
      | forgetful | the home restarts                    | 2    |
      | fencing   | the home restarts                    | 1    |
      | forgetful | the home moves without the old entry | 2    |
      | fencing   | the home moves without the old entry | 1    |

  Scenario: an earlier home that cannot be reached makes the outcome unknown
    Given an agent that took over a key from an unreachable home
    When the key is used and nothing answers in time
    Then the refusal is "home_unreachable" with outcome "outcome_unknown"

  Scenario: an earlier home that operators list as stopped is not asked after the retry window
    Given an agent that took over a key from an unreachable home
    When operators list that home as stopped
    Then the key is refused as "key_unknown" during the retry window
    And it runs after the retry window

  Scenario: an earlier home leaves the inventory while it is asked
    Given an agent that has just joined the home of a key
    When the key is used and the earlier home leaves the inventory
    And the earlier home replies that it has fenced the key
    Then the key runs

  Scenario: an address that serves may not be listed as a former one
    Then an inventory whose former instance still serves is rejected

  Scenario: a drained home is asked to fence its keys
    Given an agent of a service in which the rules drain the home of a key
    When the key is used at the agent
    Then the agent requests a fence from the drained home first

  Scenario: a restarted home runs a new UUIDv7 key at once
    Given a home that has just restarted
    Then it refuses an opaque key for 3604000 ms
    And it refuses UUIDv7 keys created up to 2000 ms after its start
    And it runs a UUIDv7 key created 2001 ms after its start at once
    And it refuses a UUIDv7 key older than the retry window as "key_expired"

  Scenario: a key whose creation time lies ahead never runs before that time
    Given a home that ran for a retry window
    Then a UUIDv7 key created 4000 ms ahead is refused as "key_not_yet_valid"
    And the same key runs once after 2000 ms, also if the home restarts before or after

  Scenario: a repeated key gets the recorded response
    Given an agent that ran a key with a response of 100 bytes
    When the key is used again
    Then the caller gets the recorded response
    And another request with the same key is refused as "key_reused"

  Scenario: responses that are too large are not stored
    Given an agent that ran a key with a response of 20000 bytes
    When the key is used again
    Then the refusal is "key_done" with outcome "outcome_unknown"
    And no response bytes are held

  Scenario: stored responses stay within their budget and expire with the retry window
    Given an agent that ran 1000 keys with responses of 10000 bytes
    Then at most 4194304 bytes of responses are held
    And after the retry window nothing is held

  Scenario: a call with a key continues after its caller disconnects
    Given an agent that runs a key
    When the entry cancels the attempt and the call completes
    And the key is used again
    Then the caller gets the recorded response

  Scenario: a request whose attempt never arrived is placed again
    Given an entry whose attempt without a key was lost
    When the agent is unresponsive and reconnects
    Then the entry queries the outcome of the attempt
    And the agent fences it and the entry places the request again
    And the lost attempt is refused when it arrives late

  Scenario: an attempt that ran is not reported as fenced
    Given an entry whose attempt without a key ran while the link was down
    When the agent is unresponsive and reconnects
    Then the entry queries the outcome of the attempt
    And the caller is refused with "answer_lost" and outcome "outcome_unknown"

  Scenario: a restarted agent does not report outcomes of its earlier incarnation
    Given an entry whose attempt without a key ran while the link was down
    When the agent restarts and the entry has not learned of the restart
    Then the caller is refused with "answer_lost" and outcome "outcome_unknown"

  Scenario: a queued request whose time limit ends is reported as not run
    Given an entry whose attempt without a key waits in the agent's queue
    When its time limit has almost passed
    Then the entry queries the outcome of the attempt
    And the caller is refused with "deadline_exceeded" and outcome "not_run"

  Scenario: no refusal of a request with a key claims that it has not run
    Given an entry that does not know the service of a key
    Then the caller is refused with "unknown_service" and outcome "outcome_unknown"

  Scenario: generated histories at one home agree with a log of everything
    Then 1000 generated histories of one home agree with the log

  Scenario: generated histories at moving homes agree with a table that never moves
    Then 1000 generated histories of moving homes agree with the table
