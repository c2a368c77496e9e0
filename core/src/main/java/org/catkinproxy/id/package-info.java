/**
 * Value types for everything that has an identity.
 *
 * <p>Every type is an immutable record, validated when it is made, and safe for use by any thread.
 * The package depends on nothing else of the product.
 */
package org.catkinproxy.id;
