/** Queries to many entries at once. */
import type {z} from 'zod';
import type {InstanceConfig} from '../config/configuration.js';
import type {CurrentResult} from '../control/methods.js';
import type {AcceptedVersion} from '../control/commands.js';
import type {GatewayError} from '../types/errors.js';
import {CommandFailure, EXIT_FAILURE} from './failures.js';
import type {Session} from './session.js';

const ENTRY_TIMEOUT_MS = 2_000;
const CONCURRENT_CALLS = 16;

/** What one entry answered, or why it did not. */
export interface EntryAnswer<Value> {
  readonly instance: InstanceConfig;
  readonly value?: Value;
  readonly error?: string;
}

/**
 * The accepted configuration; fails before version 1. With `local` one member
 * answers with what it has, which also works without a quorum.
 */
export async function readAccepted(
  session: Session,
  options: {readonly local?: boolean} = {},
): Promise<AcceptedVersion> {
  const current = await session.control.query<CurrentResult>('config.current', {
    local: options.local ?? false,
  });
  if (current.accepted !== undefined) return current.accepted;
  throw new CommandFailure(
    EXIT_FAILURE,
    'no configuration was accepted yet: see `cyclamenfall answers accept`',
  );
}

/** Asks all given entries, a few at a time; keeps their order. */
export async function askEntries<Value>(
  session: Session,
  instances: readonly InstanceConfig[],
  method: string,
  schema: z.ZodType<Value>,
  params: object = {},
): Promise<readonly EntryAnswer<Value>[]> {
  const answers: EntryAnswer<Value>[] = [];
  const queue = [...instances.entries()];
  const work = async (): Promise<void> => {
    for (let item = queue.shift(); item !== undefined; item = queue.shift()) {
      const [index, instance] = item;
      answers[index] = await askEntry(
        session,
        instance,
        method,
        schema,
        params,
      );
    }
  };
  await Promise.all(Array.from({length: CONCURRENT_CALLS}, work));
  return answers;
}

/** Asks one entry. */
export async function askEntry<Value>(
  session: Session,
  instance: InstanceConfig,
  method: string,
  schema: z.ZodType<Value>,
  params: object = {},
): Promise<EntryAnswer<Value>> {
  const result = await session.rpc.call<unknown>(
    instance.innerAddress,
    method,
    params,
    ENTRY_TIMEOUT_MS,
  );
  if (result.isErr()) return {instance, error: shortReason(result.error)};
  const parsed = schema.safeParse(result.value);
  return parsed.success
    ? {instance, value: parsed.data}
    : {instance, error: `unexpected answer: ${parsed.error.message}`};
}

function shortReason(error: GatewayError): string {
  return `${error.code}: ${error.message}`;
}
