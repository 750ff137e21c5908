// Reads KNOWN-RED.txt: tests that fail for a known fault. Each entry has the
// lines `test`, `command`, `seed`, `seen` and `issue`; entries are separated by
// an empty line, and lines that begin with `#` are comments.
import {existsSync, readFileSync} from 'node:fs';

const FIELDS = ['test', 'command', 'seed', 'seen', 'issue'];

/** Entries of the file; throws if one lacks a field. */
export function readKnownRed(path = 'KNOWN-RED.txt') {
  if (!existsSync(path)) return [];
  return parseKnownRed(readFileSync(path, 'utf8'));
}

/** Entries of the text of such a file. */
export function parseKnownRed(text) {
  return text
    .split('\n')
    .filter(line => !line.startsWith('#'))
    .join('\n')
    .split(/\n\s*\n/)
    .map(entry => entry.trim())
    .filter(entry => entry !== '')
    .map(parseEntry);
}

function parseEntry(text) {
  const entry = Object.fromEntries(
    text.split('\n').map(line => {
      const [name = '', ...rest] = line.split(':');
      return [name.trim(), rest.join(':').trim()];
    }),
  );
  const missing = FIELDS.filter(name => !entry[name]);
  if (missing.length > 0) {
    throw new Error(
      `KNOWN-RED.txt: ${missing.join(', ')} missing in:\n${text}`,
    );
  }
  return entry;
}

/** Splits failures into those that an entry names and the others. */
export function splitFailures(failures, entries) {
  const isKnown = failure => entries.some(entry => entry.test === failure.name);
  return {
    known: failures.filter(isKnown),
    unknown: failures.filter(failure => !isKnown(failure)),
  };
}
