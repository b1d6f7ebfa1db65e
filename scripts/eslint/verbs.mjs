/**
 * ESLint rule: the name of a function or method must begin with a verb from the
 * list in docs/VERBS.md.
 */
import {readFileSync} from 'node:fs';

const verbsPage = new URL('../../docs/VERBS.md', import.meta.url);

/** Reads the verbs: each list item of the page starts with a verb in backticks. */
function readVerbs() {
  const page = readFileSync(verbsPage, 'utf8');
  return [...page.matchAll(/^- `([a-z]+)`/gm)].map(match => match[1]);
}

const verbs = new Set(readVerbs());

/** Names from test frameworks, which are exempt from the rule. */
const exemptNames = new Set(['it']);

function getFirstWord(name) {
  return /^_*([a-z]+)/.exec(name)?.[1] ?? '';
}

export const verbFirst = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: {
      verb: 'Begin "{{name}}" with a verb from docs/VERBS.md, or add one there.',
    },
  },
  create(context) {
    function checkName(node, name) {
      if (!name || exemptNames.has(name) || verbs.has(getFirstWord(name))) {
        return;
      }
      context.report({node, messageId: 'verb', data: {name}});
    }
    return {
      FunctionDeclaration(node) {
        checkName(node, node.id?.name);
      },
      'VariableDeclarator[init.type="ArrowFunctionExpression"]'(node) {
        checkName(node, node.id.name);
      },
      'MethodDefinition[kind="method"]'(node) {
        checkName(node, node.key.name);
      },
    };
  },
};
