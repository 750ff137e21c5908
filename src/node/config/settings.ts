/**
 * Settings of the daemons and of the command line: one YAML file each, which
 * tells a process who it is, where it listens and whom it asks first.
 * Everything else comes from the accepted configuration.
 */
import {readFileSync} from 'node:fs';
import {dirname, resolve} from 'node:path';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import type {DomainId, InstanceId, RegionId} from '../types/ids.js';
import {addressSchema, idSchema, operatorSchema} from './configuration.js';
import {
  formatProblem,
  readSource,
  type LocatedProblem,
  type ValueProblem,
} from './source_text.js';

const MIN_SECRET_CHARACTERS = 16;

const logLevelSchema = z.enum([
  'trace',
  'debug',
  'info',
  'warn',
  'error',
  'silent',
]);

/** The secret that authenticates messages between instances. */
const secretFields = {
  /** Path relative to the settings file; its content is trimmed. */
  clusterSecretFile: z.string().min(1).optional(),
  clusterSecret: z.string().min(MIN_SECRET_CHARACTERS).optional(),
};

/** Settings file of `cyclamenfall-entry`. */
export const entrySettingsSchema = z.strictObject({
  instanceId: idSchema<InstanceId>(),
  domainId: idSchema<DomainId>(),
  regionId: idSchema<RegionId>(),
  listen: z.strictObject({
    callerAddress: addressSchema,
    innerAddress: addressSchema,
  }),
  /** Path relative to the settings file; absent on an instance without disk. */
  dataFolder: z.string().min(1).optional(),
  ...secretFields,
  /** Inner addresses of entries of the same domain, asked first. */
  seedAddresses: z.array(addressSchema).default([]),
  /** Inner addresses of control members. */
  controlAddresses: z.array(addressSchema).default([]),
  /** Address of the platform's feeds and directory, if there is one. */
  platformAddress: addressSchema.optional(),
  /** Time between leaving the client directory and refusing new work. */
  stopGraceMs: z.number().min(0).default(2_000),
  logLevel: logLevelSchema.default('info'),
});

/** Settings file of `cyclamenfall-control`. */
export const controlSettingsSchema = z.strictObject({
  instanceId: idSchema<InstanceId>(),
  domainId: idSchema<DomainId>(),
  /** The inner address that other instances connect to. */
  listenAddress: addressSchema,
  dataFolder: z.string().min(1),
  ...secretFields,
  /**
   * The founders of the configuration log, equal on all of them, in the same
   * order. An instance that joins later lists members without itself; it stays
   * without a vote until an operator adds it.
   */
  initialMembers: z
    .array(
      z.strictObject({
        instanceId: idSchema<InstanceId>(),
        address: addressSchema,
      }),
    )
    .default([]),
  /** May accept the first configuration, before any operator is known. */
  initialOperator: operatorSchema.optional(),
  logLevel: logLevelSchema.default('info'),
});

/** Settings file of the command line. */
export const operatorSettingsSchema = z.strictObject({
  operator: z.string().min(1).max(64),
  /** Path relative to the settings file; its content is trimmed. */
  operatorKeyFile: z.string().min(1).optional(),
  operatorKey: z.string().min(1).optional(),
  ...secretFields,
  /** Inner addresses of control members. */
  controlAddresses: z.array(addressSchema).min(1),
});

export type EntrySettings = Resolved<z.infer<typeof entrySettingsSchema>>;
export type ControlSettings = Resolved<z.infer<typeof controlSettingsSchema>>;
export type OperatorSettings = Resolved<
  z.infer<typeof operatorSettingsSchema>
> & {readonly operatorKey: string};

interface SecretSettings {
  readonly clusterSecretFile?: string | undefined;
  readonly clusterSecret?: string | undefined;
}

/** Settings whose secret has been read. */
type Resolved<Settings> = Settings & {readonly clusterSecret: string};

/** Reads the settings of an entry. */
export function loadEntrySettings(
  file: string,
): Result<EntrySettings, readonly LocatedProblem[]> {
  return loadSettings(file, entrySettingsSchema).map(settings => ({
    ...settings,
    ...resolveFolder(file, settings.dataFolder),
  }));
}

/** Reads the settings of a control member. */
export function loadControlSettings(
  file: string,
): Result<ControlSettings, readonly LocatedProblem[]> {
  return loadSettings(file, controlSettingsSchema).map(settings => ({
    ...settings,
    dataFolder: resolve(dirname(file), settings.dataFolder),
  }));
}

/** Reads the settings of the command line. */
export function loadOperatorSettings(
  file: string,
): Result<OperatorSettings, readonly LocatedProblem[]> {
  return loadSettings(file, operatorSettingsSchema).andThen(settings =>
    resolveSecret(file, 'operatorKey', settings).map(operatorKey => ({
      ...settings,
      operatorKey,
    })),
  );
}

/**
 * Reads a settings file of any schema that has the secret's fields. The shape
 * is checked first, then the secret is read.
 */
export function loadSettings<Settings extends SecretSettings>(
  file: string,
  schema: z.ZodType<Settings>,
): Result<Resolved<Settings>, readonly LocatedProblem[]> {
  return readSource(file, schema, checkSecrets).andThen(settings =>
    resolveSecret(file, 'clusterSecret', settings).map(clusterSecret => ({
      ...settings,
      clusterSecret,
    })),
  );
}

/** The message for standard error when a settings file is refused. */
export function formatProblems(problems: readonly LocatedProblem[]): string {
  return problems.map(formatProblem).join('\n');
}

function checkSecrets(settings: object): readonly ValueProblem[] {
  const names = ['clusterSecret', 'operatorKey'].filter(
    name => name === 'clusterSecret' || 'operator' in settings,
  );
  const values = settings as Readonly<Record<string, unknown>>;
  return names.flatMap(name => {
    const hasValue = values[name] !== undefined;
    const hasFile = values[`${name}File`] !== undefined;
    return hasValue === hasFile
      ? [{path: [], message: `give either ${name} or ${name}File`}]
      : [];
  });
}

function resolveFolder(
  file: string,
  folder: string | undefined,
): {dataFolder?: string} {
  return folder === undefined
    ? {}
    : {dataFolder: resolve(dirname(file), folder)};
}

function resolveSecret(
  file: string,
  name: string,
  settings: object,
): Result<string, readonly LocatedProblem[]> {
  const values = settings as Readonly<Record<string, string | undefined>>;
  const value = values[name];
  if (value !== undefined) return ok(value);
  const path = `${name}File`;
  const secretFile = resolve(dirname(file), values[path] ?? '');
  const problem = (message: string): LocatedProblem[] => [
    {file, line: 1, column: 1, path, message},
  ];
  try {
    const secret = readFileSync(secretFile, 'utf8').trim();
    const isLongEnough =
      secret.length >= (name === 'clusterSecret' ? MIN_SECRET_CHARACTERS : 1);
    return isLongEnough
      ? ok(secret)
      : err(problem(`the secret in ${secretFile} is too short`));
  } catch (thrown) {
    return err(
      problem(thrown instanceof Error ? thrown.message : String(thrown)),
    );
  }
}
