package wigeonreel.selector

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.github.h0tk3y.betterParse.combinators.and
import com.github.h0tk3y.betterParse.combinators.map
import com.github.h0tk3y.betterParse.combinators.or
import com.github.h0tk3y.betterParse.combinators.separatedTerms
import com.github.h0tk3y.betterParse.combinators.skip
import com.github.h0tk3y.betterParse.combinators.use
import com.github.h0tk3y.betterParse.grammar.Grammar
import com.github.h0tk3y.betterParse.grammar.tryParseToEnd
import com.github.h0tk3y.betterParse.lexer.literalToken
import com.github.h0tk3y.betterParse.lexer.regexToken
import com.github.h0tk3y.betterParse.parser.ErrorResult
import com.github.h0tk3y.betterParse.parser.Parsed
import com.github.h0tk3y.betterParse.parser.Parser

/** The selector [text] can't be parsed. */
data class SelectorError(
    val text: String,
) {
    val message get() =
        "selector '$text' can't be read; write conditions as label=value, label!=value, label^=prefix " +
            "or label in (a|b), joined by commas"
}

/** Parses a selector such as `request.method=POST, account.tier in (gold|silver)`; blank text matches every request. */
fun parseSelector(text: String): Either<SelectorError, Selector> {
    if (text.isBlank()) return Selector.All(emptyList()).right()
    return when (val result = SelectorGrammar.tryParseToEnd(text)) {
        is Parsed -> result.value.right()
        is ErrorResult -> SelectorError(text).left()
    }
}

private object SelectorGrammar : Grammar<Selector>() {
    private val space by regexToken("\\s+", ignore = true)
    private val notEquals by literalToken("!=")
    private val prefix by literalToken("^=")
    private val equals by literalToken("=")
    private val comma by literalToken(",")
    private val bar by literalToken("|")
    private val open by literalToken("(")
    private val close by literalToken(")")
    private val word by regexToken("[A-Za-z0-9_./:*-]+")

    private val text = word use { text }
    private val condition: Parser<Selector> =
        (text and skip(equals) and text map { (label, value) -> Selector.Equals(label, value) }) or
            (text and skip(notEquals) and text map { (label, value) -> Selector.NotEquals(label, value) }) or
            (text and skip(prefix) and text map { (label, value) -> Selector.StartsWith(label, value) }) or
            (
                text and skip(word) and skip(open) and separatedTerms(text, bar) and skip(close) map
                    { (label, values) -> Selector.OneOf(label, values.toSet()) }
            )

    override val rootParser: Parser<Selector> = separatedTerms(condition, comma) map { Selector.All(it) }
}
