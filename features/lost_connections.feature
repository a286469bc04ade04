Feature: Connections to the store that are lost while the store is sound
  An open connection may be cut or go silent while new ones work. An entry finds
  that out in time.

  Scenario Outline: what was changed around a lost connection is in force in time
    Given an entry process before 3 app servers and 0 llm servers
    When its open connections to the store <loss>
    And <delay> seconds after that, <change>
    Then reads <bound> seconds after the <event> are handled accordingly: <change>

    Examples: the connection goes silent, which excuses the entry for 3 seconds
      | loss                         | change                             | delay | bound | event |
      | go silent right after a change | app server 1 drains              | 0.4   | 3.0   | loss  |
      | go silent right after a change | the key is withdrawn             | 0.4   | 3.0   | loss  |
      | go silent right after a change | the read route is dropped        | 0.4   | 3.0   | loss  |

  Scenario Outline: a silent connection is found, and the source asked anew, within the time that excuses it
    Given a contact with a source
    When its calls end as <calls>
    And its next call gets no answer
    Then a new call is sent within 3.0 seconds of the last answer

    Examples:
      | calls                    |
      | answered                 |
      | answered, changed        |
      | answered, lost, answered |

  Scenario: a source that cuts each watch is not asked without a pause
    Given a contact with a source
    When its calls end as answered, lost, probed, lost
    Then the next call is sent after 0.2 seconds or more
