package org.catkinproxy.config;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;

import java.util.List;
import java.util.stream.Collectors;

/**
 * The result of parsing a sheet: a configuration, or all errors of the sheet.
 *
 * <p>Immutable and thread-safe.
 */
public final class SheetParseResult {
    private final Configuration mConfiguration;
    private final List<SheetError> mErrors;

    private SheetParseResult(Configuration configuration, List<SheetError> errors) {
        mConfiguration = checkNotNull(configuration, "configuration");
        mErrors = List.copyOf(errors);
    }

    static SheetParseResult of(Configuration configuration, List<SheetError> errors) {
        return new SheetParseResult(configuration, errors);
    }

    /** Returns whether the sheet has no errors. */
    public boolean isValid() {
        return mErrors.isEmpty();
    }

    /** Returns all errors in the order of their rows; empty if the sheet is valid. */
    public List<SheetError> errors() {
        return mErrors;
    }

    /**
     * Returns the configuration, with revision {@link org.catkinproxy.id.Revision#NONE}.
     *
     * @throws CatkinException with code {@code INVALID_SHEET} if the sheet has errors
     */
    public Configuration configuration() {
        if (!isValid()) {
            throw CatkinException.notRun(
                    ErrorCode.INVALID_SHEET, Step.PARSE, CatkinException.NO_PEER, describeErrors());
        }
        return mConfiguration;
    }

    private String describeErrors() {
        return mErrors.stream().map(SheetError::toString).collect(Collectors.joining("; "));
    }
}
