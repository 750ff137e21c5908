/** Callers' keys as operators give them; only digests leave this process. */
import {readFileSync} from 'node:fs';
import {digestSchema} from '../config/configuration.js';
import {digestOfKey} from '../workspaces/key_digest.js';
import {textOption, type ParsedOptions} from './command.js';
import {usageFailure} from './failures.js';

/** The digest of a shorter key leads back to it by trying all keys. */
const MIN_KEY_CHARACTERS = 16;

/** Flags that name a key. */
export const KEY_OPTIONS = [
  ['--key-file', 'File with the key of the callers'],
  ['--key-digest', 'SHA-256 of the key, in place of the file'],
] as const;

/** The digest of the key that the flags name. */
export function keyDigestOption(options: ParsedOptions): string {
  const file = textOption(options, 'key-file');
  const digest = textOption(options, 'key-digest');
  if ((file === undefined) === (digest === undefined)) {
    throw usageFailure('give either --key-file or --key-digest');
  }
  return file === undefined ? checkedDigest(digest ?? '') : digestOfFile(file);
}

function checkedDigest(digest: string): string {
  if (digestSchema.safeParse(digest).success) return digest;
  throw usageFailure('--key-digest needs 64 digits of 0-9 a-f');
}

function digestOfFile(file: string): string {
  const key = readFileSync(file, 'utf8').trim();
  if (key.length >= MIN_KEY_CHARACTERS && !/\s/.test(key)) {
    return digestOfKey(key);
  }
  throw usageFailure(
    `the key in ${file} needs at least ${MIN_KEY_CHARACTERS} characters and no spaces`,
  );
}
