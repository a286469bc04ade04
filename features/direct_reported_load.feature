Feature: Placement by the load that targets report

  Scenario: a target that reports requests of others is avoided until its report is old
    Given a dispatcher before 2 plain targets
    When the first target answers and reports 6 running and 2 waiting requests
    And 10 requests are placed one after the other
    Then the first target received none of the requests
    When 5 seconds pass
    And 40 requests are placed one after the other
    Then the first target received some of the requests

  Scenario: a target that reports no more than is known of it is not avoided
    Given a dispatcher before 2 plain targets
    When the first target answers and reports 1 running and 0 waiting requests
    And 40 requests are placed one after the other
    Then the first target received some of the requests

  Scenario: a report of an absurd load counts as a full target and is soon forgotten
    Given a dispatcher before 2 plain targets
    When the first target answers and reports 999999 running and 999999 waiting requests
    And 6 seconds pass
    And 40 requests are placed one after the other
    Then the first target received some of the requests

  Scenario: a report of a former incarnation is ignored
    Given a dispatcher before 2 plain targets
    When the first target restarts, and the answer of its former incarnation reports 6 running requests
    And 40 requests are placed one after the other
    Then the first target received some of the requests

  Scenario: a late report does not replace a newer one
    Given a dispatcher before 2 plain targets
    When the first target answers and reports 6 running and 2 waiting requests
    And an answer ends that reported 0 running requests 3000 ms before
    And 10 requests are placed one after the other
    Then the first target received none of the requests

  Scenario Outline: a load that cannot be read is ignored and counted
    When a response states the load "<text>"
    Then the stated load reads as <verdict>

    Examples:
      | text                                  | verdict   |
      | 3,1,6                                 | 4         |
      | 0,0,6                                 | 0         |
      | 3, 1, 6                               | 4         |
      | 3,1                                   | malformed |
      | 3,1,6,2                               | malformed |
      | -3,1,6                                | malformed |
      | 3.5,1,6                               | malformed |
      | a,b,c                                 | malformed |
      | 99999999999999999999999999999999,1,6  | malformed |

  Scenario: an entry reads the load that servers state
    Given an entry before 2 app servers and 0 llm servers
    And app server 1 states the load "6,4,6" and app server 2 the load "x"
    When a caller gets /read/1 24 times
    Then app server 1 received at most 8 reads
    And the entry counted malformed loads
