/** The stand-in for a plain service, which records every execution. */
package org.catkinproxy.standin.service;
