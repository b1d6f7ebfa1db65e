/** Generates docs/ERRORS.md from the error table. */
import {writeFileSync} from 'node:fs';
import {errorTable} from '../packages/shared/dist/src/index.js';

const rows = Object.entries(errorTable).map(
  ([code, {status, title, advice}]) =>
    `| \`${code}\` | ${status} | ${title} | ${advice} |`,
);

const page = `# Errors

Every failure has a stable code. Callers read it in a problem document
(\`application/problem+json\`) with the HTTP status below, a \`detail\`, and the
\`outcome\`: \`not_run\`, \`unknown\` or \`completed\`. Log lines carry the same
codes. This page is written by \`node scripts/error_docs.mjs\`.

| code | status | meaning | what to do |
| ---- | ------ | ------- | ---------- |
${rows.join('\n')}
`;

writeFileSync('docs/ERRORS.md', page);
