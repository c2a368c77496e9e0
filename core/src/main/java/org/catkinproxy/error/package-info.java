/**
 * The unchecked exception for failures, with the enums for its code, step and outcome.
 *
 * <p>All types are immutable. Must not depend on other packages of the project.
 */
package org.catkinproxy.error;
