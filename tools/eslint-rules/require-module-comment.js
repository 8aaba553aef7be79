/** Lint rule that requires a doc comment on the module at the top of each file. */

/**
 * True if the comment documents the module and not the declaration that follows it: another block comment, a blank line,
 * an import, a re-export or the end of the file follows it.
 */
function isModuleComment(comment, nextNode, sourceCode) {
  if (comment?.type !== 'Block' || !comment.value.startsWith('*')) return false;
  const next = sourceCode.getTokenAfter(comment, { includeComments: true });
  if (next === null || next.type === 'Block') return true;
  const isFollowedByBlankLine = next.loc.start.line > comment.loc.end.line + 1;
  return isFollowedByBlankLine || isImportOrReexport(nextNode);
}

function isImportOrReexport(node) {
  return (
    node?.type === 'ImportDeclaration' ||
    node?.type === 'ExportAllDeclaration' ||
    (node?.type === 'ExportNamedDeclaration' && node.source !== null)
  );
}

/** Reports files that do not begin with a doc comment on the module. */
export const requireModuleComment = {
  meta: {
    type: 'suggestion',
    docs: { description: 'Require a doc comment on the module at the top of each file' },
    messages: { missing: 'begin the file with a doc comment on the module' },
    schema: [],
  },
  create(context) {
    const { sourceCode } = context;
    return {
      Program(program) {
        const first = sourceCode.getAllComments().find((comment) => comment.type !== 'Shebang');
        const startsFile = first && !sourceCode.getTokenBefore(first);
        if (startsFile && isModuleComment(first, program.body[0], sourceCode)) return;
        context.report({ loc: { line: 1, column: 0 }, messageId: 'missing' });
      },
    };
  },
};
