Feature: Requests that reach an entry late in its planned stop

  # Requests were taken for up to 50 ms beyond the notice, and cut off.
  Scenario Outline: requests sent late in a planned stop are taken and cut off
    Given an entry process whose grace period is <grace> seconds and whose streams last longer
    When it is stopped, and streams are requested each 10 ms from <first> to <last> seconds after the signal
    Then each of those sent later than <owed> seconds after the signal is refused, and no server gets it
    And the process ends with code 0 within <grace> seconds

    Examples:
      | grace | first | last | owed |
      | 8     | 2.3   | 3.3  | 3.0  |
      | 4     | 1.8   | 2.8  | 2.5  |

  Scenario: requests that wait unread when the notice ends are taken and cut off
    Given an entry process whose grace period is 8 seconds and whose streams last longer
    When it is stopped and paused, and streams are requested each 10 ms from 2.0 to 3.3 seconds after the signal
    Then each of those sent later than 2.5 seconds after the signal is refused, and no server gets it
    And the process ends with code 0 within 8 seconds

  Scenario: short requests are refused though they end before the stop does
    Given an entry process whose grace period is 8 seconds and whose streams last longer
    When it is stopped, and short requests come on open connections while a stream goes on
    Then all of these are served

  Scenario Outline: a stop takes what it has to cut off
    Given a planned stop with a grace period of <grace> ms
    Then it takes no request that may outlast it later than <notice> ms after its signal
    And it ends requests in the last sixth of the grace period, and gives their callers time before its end

    Examples:
      | grace | notice |
      | 500   | 250    |
      | 2000  | 1000   |
      | 4000  | 2000   |
      | 8000  | 2500   |
      | 30000 | 2500   |
