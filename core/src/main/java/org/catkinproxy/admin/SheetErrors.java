package org.catkinproxy.admin;

import org.catkinproxy.config.SheetError;

import java.util.List;

/**
 * The response to a sheet check, which lists the errors of the sheet.
 *
 * <p>Immutable and thread-safe.
 *
 * @param errors all errors in the order of their rows; empty if the sheet is valid
 */
public record SheetErrors(List<SheetError> errors) {}
