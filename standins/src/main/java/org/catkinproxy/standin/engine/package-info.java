/** The stand-in for a model engine: batching, prefix cache, resumable streams and orders. */
package org.catkinproxy.standin.engine;
