/**
 * Generated values that remember where they come from. The generator builds a
 * tree of traced values once; the configuration and its explanation are two
 * readings of that tree, so that no value can lack an explanation.
 */
import {formatPath, type ValuePath} from './source_text.js';

/** A generated value, the answers it follows from and the rule that was used. */
export class Leaf<Value> {
  constructor(
    readonly value: Value,
    /** Paths of answers, such as `instances[2].disk`. */
    readonly sources: readonly string[],
    readonly rule: string,
  ) {}
}

/** A value of `Value` whose leaves are traced. */
export type Traced<Value> =
  | Leaf<Value>
  | (Value extends readonly (infer Item)[]
      ? readonly Traced<Item>[] | Leaf<Value>
      : Value extends object
        ? {readonly [Key in keyof Value]: Traced<Value[Key]>}
        : never);

/** Why a generated value is what it is. */
export interface Explanation {
  /** Path in the configuration, such as `policy.hedgeQuantile`. */
  readonly path: string;
  readonly value: unknown;
  readonly sources: readonly string[];
  readonly rule: string;
}

/** The rule of values that are taken over unchanged. */
export const COPY_RULE = 'taken from the answer';

/** A value that is an answer. */
export function copied<Value>(value: Value, source: string): Leaf<Value> {
  return new Leaf(value, [source], COPY_RULE);
}

/** A list of answers; an empty list is a leaf of its own. */
export function copiedList<Value>(
  values: readonly Value[],
  source: string,
): Leaf<Value>[] {
  return values.map((value, index) => copied(value, `${source}[${index}]`));
}

/** A value that a rule computed from answers. */
export function derived<Value>(
  value: Value,
  sources: string | readonly string[],
  rule: string,
): Leaf<Value> {
  return new Leaf(
    value,
    typeof sources === 'string' ? [sources] : sources,
    rule,
  );
}

/** An optional answer, or the default that a rule gives instead. */
export function copiedOr<Value>(
  value: Value | undefined,
  source: string,
  fallback: Leaf<Value>,
): Leaf<Value> {
  return value === undefined ? fallback : copied(value, source);
}

/** The plain value of a traced tree. */
export function plain<Value>(traced: Traced<Value>): Value {
  return toPlain(traced) as Value;
}

function toPlain(traced: unknown): unknown {
  if (traced instanceof Leaf) return traced.value;
  if (Array.isArray(traced)) return traced.map(toPlain);
  return Object.fromEntries(
    Object.entries(traced as object)
      .filter(([, value]) => value !== undefined)
      .map(([key, value]) => [key, toPlain(value)]),
  );
}

/** The explanations of all leaves, in the order of the configuration. */
export function explanations(
  traced: unknown,
  path: ValuePath = [],
): readonly Explanation[] {
  if (traced instanceof Leaf) {
    const {value, sources, rule} = traced as Leaf<unknown>;
    return [{path: formatPath(path), value, sources, rule}];
  }
  if (Array.isArray(traced)) {
    if (traced.length === 0) {
      const rule = 'the answers lead to no item of this list';
      return [{path: formatPath(path), value: [], sources: [], rule}];
    }
    return traced.flatMap((item, index) =>
      explanations(item, [...path, index]),
    );
  }
  return Object.entries((traced ?? {}) as object).flatMap(([key, value]) =>
    explanations(value, [...path, key]),
  );
}
