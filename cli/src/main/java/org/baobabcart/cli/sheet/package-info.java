/** Sheets from tables that planners export from a spreadsheet. */
package org.baobabcart.cli.sheet;
