/**
 * Code generated from {@code src/main/thrift/peer.thrift} by Thrift 0.17.0; not to be edited.
 *
 * <p>Made in the directory {@code daemon} by {@code thrift --gen
 * java:private_members,generated_annotations=suppress -out src/main/java
 * src/main/thrift/peer.thrift}. Used by {@code peer} only. Generated objects are mutable and not
 * safe for use by several threads.
 */
package org.catkinproxy.peer.gen;
