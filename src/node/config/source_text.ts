/**
 * YAML text with positions: a problem with a value names the file, the line,
 * the column and the path of that value.
 */
import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {
  isMap,
  isNode,
  LineCounter,
  parseDocument,
  type Document,
  type Node,
} from 'yaml';
import type {z} from 'zod';

/** The keys and indexes that lead to a value. */
export type ValuePath = readonly (string | number)[];

/** A problem before it is located in a file. */
export interface ValueProblem {
  readonly path: ValuePath;
  readonly message: string;
  /** The problem is the key itself, not the value under it. */
  readonly isKey?: boolean;
}

/** A problem at a place in a file. Line and column start at 1. */
export interface LocatedProblem {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  /** Such as `instances[2].domain`; empty for the whole file. */
  readonly path: string;
  readonly message: string;
}

/** Extra checks on a value whose shape is already valid. */
export type ValueCheck<Value> = (value: Value) => readonly ValueProblem[];

/** Writes a path as `instances[2].domain`. */
export function formatPath(path: ValuePath): string {
  return path.reduce<string>((text, step) => {
    if (typeof step === 'number') return `${text}[${step}]`;
    return text === '' ? step : `${text}.${step}`;
  }, '');
}

/** Writes a problem as `file:line:column: path: message`. */
export function formatProblem(problem: LocatedProblem): string {
  const place = `${problem.file}:${problem.line}:${problem.column}`;
  const path = problem.path === '' ? '' : `${problem.path}: `;
  return `${place}: ${path}${problem.message}`;
}

// Aliases could expand a small file into gigabytes; no settings need more.
const MAX_ALIAS_COUNT = 100;

/** Parses YAML text, checks its shape and then its content. */
export function parseSource<Value>(
  text: string,
  file: string,
  schema: z.ZodType<Value>,
  check: ValueCheck<Value> = () => [],
): Result<Value, readonly LocatedProblem[]> {
  const lines = new LineCounter();
  const document = parseDocument(text, {lineCounter: lines});
  const at = (offset: number): {line: number; column: number} => {
    const {line, col} = lines.linePos(offset);
    return {line: Math.max(line, 1), column: Math.max(col, 1)};
  };
  if (document.errors.length > 0) {
    return err(
      document.errors.map(error => ({
        file,
        ...at(error.pos[0]),
        path: '',
        message: firstLine(error.message),
      })),
    );
  }
  const locate = (problem: ValueProblem): LocatedProblem => ({
    file,
    ...at(
      problem.isKey === true
        ? keyOffsetOf(document, problem.path)
        : offsetOf(document, problem.path),
    ),
    path: formatPath(problem.path),
    message: problem.message,
  });
  const parsed = schema.safeParse(
    document.toJS({maxAliasCount: MAX_ALIAS_COUNT}),
  );
  if (!parsed.success) {
    return err(
      parsed.error.issues.flatMap(toValueProblems).map(locate).sort(byPlace),
    );
  }
  const problems = check(parsed.data);
  return problems.length > 0
    ? err(problems.map(locate).sort(byPlace))
    : ok(parsed.data);
}

/** Reads and parses a file. A file that cannot be read is a problem too. */
export function readSource<Value>(
  file: string,
  schema: z.ZodType<Value>,
  check?: ValueCheck<Value>,
): Result<Value, readonly LocatedProblem[]> {
  try {
    return parseSource(readFileSync(file, 'utf8'), file, schema, check);
  } catch (thrown) {
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    return err([{file, line: 1, column: 1, path: '', message}]);
  }
}

function byPlace(left: LocatedProblem, right: LocatedProblem): number {
  return left.line - right.line || left.column - right.column;
}

function firstLine(text: string): string {
  return text.split('\n')[0] ?? text;
}

function toValueProblems(issue: z.core.$ZodIssue): readonly ValueProblem[] {
  const path = issue.path.map(step =>
    typeof step === 'number' ? step : String(step),
  );
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({
      path: [...path, key],
      message: 'unknown key',
      isKey: true,
    }));
  }
  return [{path, message: issue.message}];
}

// A value that is missing is located at its nearest ancestor that exists.
function offsetOf(document: Document.Parsed, path: ValuePath): number {
  const node = document.getIn(path, true);
  if (isNode(node)) return startOf(node);
  return path.length === 0 ? 0 : offsetOf(document, path.slice(0, -1));
}

function keyOffsetOf(document: Document.Parsed, path: ValuePath): number {
  const parent =
    path.length === 1
      ? document.contents
      : document.getIn(path.slice(0, -1), true);
  if (!isMap(parent)) return offsetOf(document, path);
  const pair = parent.items.find(
    item => isNode(item.key) && String(item.key) === String(path.at(-1)),
  );
  return pair === undefined
    ? offsetOf(document, path)
    : startOf(pair.key as Node);
}

function startOf(node: Node): number {
  return node.range?.[0] ?? 0;
}
