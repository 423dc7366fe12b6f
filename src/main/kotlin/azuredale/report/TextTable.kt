package azuredale.report

/** Prints [rows] under [header] with each column padded to its widest cell. */
internal fun printTable(output: Appendable, header: List<String>, rows: List<List<String>>) {
    val widths = header.indices.map { column -> (rows + listOf(header)).maxOf { it[column].length } }
    (listOf(header) + rows).forEach { row ->
        output.appendLine(
            "  " + row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd(),
        )
    }
}
