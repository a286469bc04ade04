Feature: Only a whole refusal of its own tells that a request did not run

  Scenario Outline: a refusal that stops inside its head refuses no request whose answer follows
    Given an entry before 2 servers that begin a refusal with <status> before each answer
    When for each place in the head a caller posts twice
    Then no request ran more than once
    And a status that states that the request did not run is true

    Examples:
      | status |
      | 421    |
      | 503    |

  Scenario Outline: a refusal that names two requests refuses neither
    Given an entry before 2 servers whose refusals name the <order> one first, of the present and the last request
    When 6 times a caller posts 10 bytes to /write/1
    Then no request ran more than once
    And a status that states that the request did not run is true

    Examples:
      | order   |
      | last    |
      | present |

  Scenario Outline: in no history of answers, refusals and copies is a request refused that ran, or run twice
    Given an entry before 2 <service> servers that play histories, each listed <listed>
    When 300 histories are played while a caller sends requests that may run once
    Then each request ran at most once, and each refusal and each success was true

    Examples:
      | service | listed    |
      | app     | once      |
      | app     | two times |
      | llm     | once      |
      | llm     | two times |

  Scenario Outline: a header field that names a proxy by its address costs no caller the answer
    Given an entry before 2 app servers and 0 llm servers
    And servers whose answers hold the field <field>
    When 4 times a caller posts 10 bytes to /write/1
    Then each answer is 200 and belongs to its request

    Examples:
      | field                         |
      | Via: HTTP/1.1 192.168.0.7     |
      | Via: HTTP/1.1 127.0.0.1:8080  |
      | Via: 1.1 a, HTTP/1.0 200proxy |
