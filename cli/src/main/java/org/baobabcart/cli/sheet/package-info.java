/** Import of sheets from CSV files exported from a spreadsheet. */
package org.baobabcart.cli.sheet;
