package org.catkinproxy.cli;

import java.util.List;
import java.util.function.Function;

/**
 * Prints a list of the operator interface as a table or as JSON.
 *
 * <p>Single use; not thread-safe.
 *
 * @param <T> the type of the list's entries, read from JSON
 */
final class ListCommand<T> extends Command {
    private final String mPath;
    private final Class<T> mEntryType;
    private final List<String> mHeadings;
    private final Function<T, Object[]> mRowMapper;

    ListCommand(
            String path,
            Class<T> entryType,
            List<String> headings,
            Function<T, Object[]> rowMapper) {
        mPath = path;
        mEntryType = entryType;
        mHeadings = headings;
        mRowMapper = rowMapper;
    }

    @Override
    void run(CommandContext context) {
        List<T> entries = context.client().getList(mPath, mEntryType);
        TextTable table = TextTable.of(mHeadings.toArray(new String[0]));
        entries.forEach(e -> table.addRow(mRowMapper.apply(e)));
        context.print(entries, table);
    }
}
