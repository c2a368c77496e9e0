/** The syntax of HTTP/1.1 messages, as far as both the daemon and the gateway check it. */
package org.catkinproxy.syntax;
