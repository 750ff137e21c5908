/** Settings of `cyclamenfall-standin`. */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {addressSchema} from '../config/configuration.js';
import {readSource, type LocatedProblem} from '../config/source_text.js';

const engineSchema = z.strictObject({
  upstreamId: z.string().min(1),
  address: addressSchema,
  modelIds: z.array(z.string().min(1)).min(1),
  slotCount: z.number().int().min(1).default(8),
  checksFencing: z.boolean().default(true),
  prefillMs: z.number().min(0).default(60),
  decodeMs: z.number().min(0).default(15),
});

const serviceSchema = z.strictObject({
  upstreamId: z.string().min(1),
  address: addressSchema,
  serviceName: z.string().min(1),
  workMs: z.number().min(0).default(20),
});

/** The settings file of the stand-ins of one process. */
export const standinSettingsSchema = z.strictObject({
  engines: z.array(engineSchema).default([]),
  services: z.array(serviceSchema).default([]),
  platform: z
    .strictObject({address: addressSchema, lagMs: z.number().min(0)})
    .optional(),
});

export type StandinSettings = z.infer<typeof standinSettingsSchema>;

/** Reads the settings of the stand-ins. */
export function loadStandinSettings(
  file: string,
): Result<StandinSettings, readonly LocatedProblem[]> {
  return readSource(file, standinSettingsSchema, () => []).match(
    value => ok(value),
    problems => err(problems),
  );
}
