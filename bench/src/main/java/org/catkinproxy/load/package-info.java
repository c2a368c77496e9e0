/** Sends load through real processes and measures what callers see. */
package org.catkinproxy.load;
