Feature: Targets that fall silent without closing a connection

  Background:
    Given an entry before 2 app servers and 4 llm servers
    And the routes' time limit is 15000 ms

  Scenario: a request that may run once is not given up while its target is cut off for a while
    Given app servers answer after 4.5 seconds
    When the target of a write falls silent while it runs it
    Then the answer is 200
    And no request ran more than once

  Scenario: a long prompt moves on once the machine of its engine is gone
    Given the next llm servers do: hang
    When a caller streams a prompt of 430000 tokens and its engine falls silent
    Then the caller has events 1 to 4 once each, and the end
    And it arrived after 1.0 to 5.0 seconds

  Scenario: a check for input waits for none at a connection to a silent target
    Given an open connection to an app server that sends nothing
    Then a check for input returns without waiting, and finds none
