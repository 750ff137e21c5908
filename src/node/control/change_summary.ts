/** What a version changes, as the audit trail says it. */
import type {Configuration} from '../config/configuration.js';
import {diff, type Change} from '../config/diff.js';

/** Bounds of an audit entry, which stays in the state of the group. */
const MAX_CHANGES = 12;
const MAX_VALUE_CHARACTERS = 40;
/** Items that are larger are named by their path only. */
const MAX_ITEM_CHARACTERS = 100;
/** Enough of a digest to tell keys apart; the answers of the version hold it whole. */
const DIGEST_CHARACTERS = 12;
const DIGEST_PATTERN = /\b[0-9a-f]{64}\b/g;

/** The changes between two configurations, at most some of them. */
export function summarizeChanges(
  before: Configuration,
  after: Configuration,
): string {
  const changes = diff(before, after);
  const shown = changes.slice(0, MAX_CHANGES).map(describe);
  const rest = changes.length - shown.length;
  return [...shown, ...(rest > 0 ? [`${rest} more changes`] : [])].join('; ');
}

function describe({path, kind, before, after}: Change): string {
  if (kind === 'added') return `+ ${path}${valueOf(after)}`;
  if (kind === 'removed') return `- ${path}${valueOf(before)}`;
  if (!isTextList(before) || !isTextList(after)) {
    return `~ ${path}: ${shorten(before)} -> ${shorten(after)}`;
  }
  const added = after.filter(each => !before.includes(each));
  const removed = before.filter(each => !after.includes(each));
  const items = [
    ...added.map(each => `+${shorten(each)}`),
    ...removed.map(each => `-${shorten(each)}`),
  ];
  if (items.length === 0) return `~ ${path}: order`;
  const rest = items.length - MAX_CHANGES;
  const shown = items.slice(0, MAX_CHANGES);
  return `~ ${path}: ${[...shown, ...(rest > 0 ? [`${rest} more`] : [])].join(' ')}`;
}

/** The value of an item that is added or removed whole. */
function valueOf(value: unknown): string {
  if (typeof value !== 'object') return ` = ${shorten(value)}`;
  const text = shortenDigests(JSON.stringify(value));
  return text.length > MAX_ITEM_CHARACTERS ? '' : ` = ${text}`;
}

function isTextList(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.every(each => typeof each === 'string');
}

function shorten(value: unknown): string {
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  return shortenDigests(text).slice(0, MAX_VALUE_CHARACTERS);
}

function shortenDigests(text: string): string {
  return text.replace(DIGEST_PATTERN, digest =>
    digest.slice(0, DIGEST_CHARACTERS),
  );
}
