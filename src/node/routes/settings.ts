/** Settings of a control member of a regional deployment. */
import {z} from 'zod';
import {addressSchema} from '../config/configuration.js';
import {processSettingsFields} from '../ingress/settings.js';

export const controlPlaneSettingsSchema = z.strictObject({
  ...processSettingsFields,
  /** Address of the operators' interface. */
  operatorAddress: addressSchema,
  /** Address of the directory that lists entries for callers. */
  directoryAddress: addressSchema,
  dataFolder: z.string().min(1),
  /** Whether a new group may be formed: the first start of the whole system. */
  mayFound: z.boolean(),
  /** Members that may be lost at the same time; the group keeps that many spare. */
  toleratedLosses: z.number().int().min(0).optional(),
});

export type ControlPlaneSettings = z.infer<typeof controlPlaneSettingsSchema>;
