// Reports source files and functions above the size limits. Each accepted
// exception stands in scripts/layout_exceptions.json with its reason.
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import ts from 'typescript';

const MAX_FILE_LINES = 400;
const MAX_FUNCTION_LINES = 60;

const exceptions = JSON.parse(
  readFileSync('scripts/layout_exceptions.json', 'utf8'),
);

const files = ['src', 'platform', 'soak']
  .flatMap(folder =>
    readdirSync(folder, {recursive: true}).map(file =>
      join(folder, String(file)),
    ),
  )
  .filter(file => file.endsWith('.ts') && !file.includes('__tests__'))
  .sort();

function functionName(node) {
  return node.name?.getText() ?? node.parent?.name?.getText?.() ?? 'anonymous';
}

function longFunctions(source) {
  const found = [];
  const visit = node => {
    if (ts.isFunctionLike(node) && node.body) {
      const first = source.getLineAndCharacterOfPosition(node.getStart()).line;
      const last = source.getLineAndCharacterOfPosition(node.getEnd()).line;
      const lines = last - first + 1;
      if (lines > MAX_FUNCTION_LINES) {
        found.push({name: functionName(node), line: first + 1, lines});
      }
    }
    ts.forEachChild(node, visit);
  };
  visit(source);
  return found;
}

const problems = files.flatMap(file => {
  const text = readFileSync(file, 'utf8');
  const lineCount = text.split('\n').length - 1;
  const source = ts.createSourceFile(file, text, ts.ScriptTarget.ES2022, true);
  const fileProblems =
    lineCount > MAX_FILE_LINES ? [{key: file, lines: lineCount}] : [];
  const functionProblems = longFunctions(source).map(item => ({
    key: `${file}#${item.name}`,
    lines: item.lines,
  }));
  return [...fileProblems, ...functionProblems];
});

const open = problems.filter(problem => !(problem.key in exceptions));
problems
  .filter(problem => problem.key in exceptions)
  .forEach(problem =>
    console.log(
      `accepted: ${problem.key} (${problem.lines} lines): ${exceptions[problem.key]}`,
    ),
  );
open.forEach(problem =>
  console.error(`too long: ${problem.key} (${problem.lines} lines)`),
);
process.exit(open.length === 0 ? 0 : 1);
