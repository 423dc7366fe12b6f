package azuredale.console

import azuredale.configuration.ConfigurationError
import azuredale.configuration.Document
import azuredale.identity.Revision
import kotlinx.html.ButtonType
import kotlinx.html.FORM
import kotlinx.html.FlowContent
import kotlinx.html.FormMethod
import kotlinx.html.HTML
import kotlinx.html.InputType
import kotlinx.html.TBODY
import kotlinx.html.ThScope
import kotlinx.html.a
import kotlinx.html.body
import kotlinx.html.button
import kotlinx.html.fieldSet
import kotlinx.html.form
import kotlinx.html.h1
import kotlinx.html.h2
import kotlinx.html.head
import kotlinx.html.hiddenInput
import kotlinx.html.html
import kotlinx.html.id
import kotlinx.html.input
import kotlinx.html.label
import kotlinx.html.lang
import kotlinx.html.legend
import kotlinx.html.li
import kotlinx.html.main
import kotlinx.html.meta
import kotlinx.html.nav
import kotlinx.html.option
import kotlinx.html.p
import kotlinx.html.section
import kotlinx.html.select
import kotlinx.html.span
import kotlinx.html.stream.createHTML
import kotlinx.html.style
import kotlinx.html.table
import kotlinx.html.tbody
import kotlinx.html.td
import kotlinx.html.th
import kotlinx.html.thead
import kotlinx.html.title
import kotlinx.html.tr
import kotlinx.html.ul
import kotlinx.html.unsafe

/**
 * Edited, not yet submitted document. Pages carry it in hidden fields: the server keeps no state between requests.
 *
 * @property revision revision of [base].
 * @property base document that the draft started from.
 */
internal class Draft(
    val revision: Revision,
    val base: Document,
    val document: Document,
    val baseText: String,
    val documentText: String,
)

/** Content of a form that is shown again with errors, or that was opened to edit an existing entry. */
internal class OpenForm(
    val kind: String,
    val values: Map<String, String>,
    val errors: Map<String, String> = emptyMap(),
)

/**
 * Content of the review page.
 *
 * @property changes differences between the draft and its base.
 * @property otherChanges changes by other operators since the draft's base; shown after a merge.
 */
internal class Review(
    val changes: List<String>,
    val faults: List<ConfigurationError>,
    val notices: List<String> = emptyList(),
    val otherChanges: List<String> = emptyList(),
)

/** HTML pages of the web console; they work without JavaScript. */
internal object ConsolePage {
    /** Sign-in form; [message] explains why the previous attempt failed. */
    fun login(message: String?): String = page("Sign in") {
        message?.let { p("error") { +it } }
        form(action = "/console/login", method = FormMethod.post) {
            label {
                htmlFor = "token"
                +"Operator token"
            }
            input(InputType.password, name = "token") {
                id = "token"
                required = true
                autoFocus = true
            }
            button(type = ButtonType.submit) { +"Sign in" }
        }
    }

    /** Entries of the draft, with a form for each kind of entry. */
    fun edit(draft: Draft, open: OpenForm? = null): String = page("Configuration at revision ${draft.revision}") {
        nav {
            ul {
                EntryForms.all.forEach { entry -> li { a("#${entry.kind}") { +entry.title } } }
                li { a("/report/burn") { +"Error-budget burn rate" } }
            }
        }
        form(action = "/console/review", method = FormMethod.post) {
            draftFields(draft)
            button(type = ButtonType.submit) { +"Review changes" }
        }
        EntryForms.all.forEach { entry -> entrySection(draft, entry, open?.takeIf { it.kind == entry.kind }) }
    }

    /** Changes and faults of the draft; offers submission only if there are changes and no faults. */
    fun review(draft: Draft, review: Review): String = page("Review changes to revision ${draft.revision}") {
        review.notices.forEach { p("error") { +it } }
        listSection("Changed by another operator", review.otherChanges)
        listSection("Your changes", review.changes.ifEmpty { listOf("no changes") })
        listSection("Faults", review.faults.map { it.toString() })
        if (review.faults.isEmpty() && review.changes.isNotEmpty()) {
            form(action = "/console/submit", method = FormMethod.post) {
                draftFields(draft)
                button(type = ButtonType.submit) { +"Submit document" }
            }
        }
        form(action = "/console/edit", method = FormMethod.post) {
            draftFields(draft)
            button(type = ButtonType.submit) { +"Continue editing" }
        }
    }

    /** Confirmation that the document was accepted as [revision]. */
    fun accepted(revision: Revision): String = page("Document accepted") {
        p { +"Revision $revision is in force." }
        p { a("/console") { +"Back to the configuration" } }
    }

    private fun FlowContent.entrySection(draft: Draft, entry: EntryForm, open: OpenForm?) {
        section {
            id = entry.kind
            h2 { +entry.title }
            table {
                thead {
                    tr {
                        entry.fields.forEach { field -> th(scope = ThScope.col) { +field.label } }
                        th(scope = ThScope.col) { +"Actions" }
                    }
                }
                tbody { entry.rows(draft.document).forEach { row -> entryRow(draft, entry, row) } }
            }
            entryForm(draft, entry, open)
        }
    }

    private fun TBODY.entryRow(draft: Draft, entry: EntryForm, row: Map<String, String>) {
        val key = row.getValue(entry.keyField)
        tr {
            entry.fields.forEach { field -> td { +row[field.name].orEmpty() } }
            td {
                form(action = "/console/edit#${entry.kind}", method = FormMethod.post) {
                    draftFields(draft)
                    hiddenInput(name = "kind") { value = entry.kind }
                    hiddenInput(name = "key") { value = key }
                    rowButton("open", "Edit", key)
                    rowButton("remove", "Remove", key)
                }
            }
        }
    }

    private fun FORM.rowButton(action: String, text: String, key: String) {
        button(type = ButtonType.submit, name = "action") {
            value = action
            attributes["aria-label"] = "$text $key"
            +text
        }
    }

    private fun FlowContent.entryForm(draft: Draft, entry: EntryForm, open: OpenForm?) {
        form(action = "/console/edit#${entry.kind}", method = FormMethod.post) {
            draftFields(draft)
            hiddenInput(name = "kind") { value = entry.kind }
            fieldSet {
                legend { +if (open == null) "Add to ${entry.title.lowercase()}" else "Edit entry" }
                entry.fields.forEach { field -> formField(entry, field, open) }
                button(type = ButtonType.submit, name = "action") {
                    value = "save"
                    +"Save to draft"
                }
            }
        }
    }

    private fun FlowContent.formField(entry: EntryForm, field: FormField, open: OpenForm?) {
        val inputId = "${entry.kind}-${field.name}"
        val error = open?.errors?.get(field.name)
        val current = open?.values?.get(field.name).orEmpty()
        p {
            label {
                htmlFor = inputId
                +field.label
                if (field.hint.isNotEmpty()) span("hint") { +" (${field.hint})" }
            }
            if (field.choices == null) {
                input(InputType.text, name = field.name) {
                    id = inputId
                    value = current
                    error?.let { describeError(attributes, inputId) }
                }
            } else {
                select {
                    id = inputId
                    name = field.name
                    field.choices.forEach { choice ->
                        option {
                            value = choice
                            selected = choice == current
                            +choice
                        }
                    }
                    error?.let { describeError(attributes, inputId) }
                }
            }
            error?.let {
                span("error") {
                    id = "$inputId-error"
                    +it
                }
            }
        }
    }

    private fun describeError(attributes: MutableMap<String, String>, inputId: String) {
        attributes["aria-invalid"] = "true"
        attributes["aria-describedby"] = "$inputId-error"
    }

    private fun FORM.draftFields(draft: Draft) {
        hiddenInput(name = "revision") { value = draft.revision.toString() }
        hiddenInput(name = "base") { value = draft.baseText }
        hiddenInput(name = "draft") { value = draft.documentText }
    }

    private fun FlowContent.listSection(title: String, lines: List<String>) {
        if (lines.isEmpty()) return
        h2 { +title }
        ul { lines.forEach { line -> li { +line } } }
    }

    private fun page(heading: String, content: FlowContent.() -> Unit): String =
        "<!DOCTYPE html>\n" + createHTML().html { document(heading, content) }

    private fun HTML.document(heading: String, content: FlowContent.() -> Unit) {
        lang = "en"
        head {
            meta(charset = "utf-8")
            meta(name = "viewport", content = "width=device-width, initial-scale=1")
            title { +"$heading - azuredale" }
            style { unsafe { +STYLE } }
        }
        body {
            main {
                h1 { +heading }
                content()
            }
        }
    }

    private const val STYLE =
        "body{font:16px/1.5 system-ui,sans-serif;margin:0 auto;max-width:75rem;padding:1rem;color:#1b1b1b}" +
            "table{border-collapse:collapse;width:100%;margin:.5rem 0}" +
            "th,td{border-bottom:1px solid #ccc;padding:.3rem .5rem;text-align:left;vertical-align:top}" +
            "nav ul{display:flex;flex-wrap:wrap;gap:1rem;list-style:none;padding:0}" +
            "fieldset{border:1px solid #ccc;display:flex;flex-wrap:wrap;gap:0 1rem;align-items:end}" +
            "fieldset p{margin:.3rem 0}label{display:block}.hint{color:#555;font-size:.85em}" +
            ".error{color:#a40000;display:block}input[aria-invalid]{border:2px solid #a40000}" +
            "button{padding:.3rem .8rem;margin:.2rem}:focus{outline:3px solid #1a66cc}"
}
