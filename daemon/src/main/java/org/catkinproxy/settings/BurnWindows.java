package org.catkinproxy.settings;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The rolling windows of the burn report.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param shortWindow the window that shows a sudden burn
 * @param longWindow the window that shows a steady burn, longer than the short one
 */
public record BurnWindows(Duration shortWindow, Duration longWindow) {
    /** The windows of a settings file that names none. */
    public static final BurnWindows DEFAULT =
            new BurnWindows(Duration.ofMinutes(5), Duration.ofHours(1));

    /** Checks the order of the windows. */
    public BurnWindows {
        checkArgument(
                shortWindow.compareTo(longWindow) < 0,
                "the short window, %s, is not below the long one, %s",
                shortWindow,
                longWindow);
    }
}
