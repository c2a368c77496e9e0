package org.catkinproxy.id;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class SkeletonTest {
    @Property(seed = "1")
    void absoluteValueOfIntIsNotNegativeAsLong(@ForAll int i) {
        assertThat(Math.abs((long) i)).isAtLeast(0L);
    }
}
