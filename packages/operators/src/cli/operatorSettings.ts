import { z } from 'zod'

const url = z.url('an http:// or https:// address')

/** Schema of the settings file of the operator. */
export const operatorSettingsSchema = z.strictObject({
  /** Name of the operator, recorded with each promotion. */
  operator: z.string().min(1, 'a name'),
  platform: z.strictObject({ tableUrl: url, objectsUrl: url, directoryUrl: url }).readonly(),
  environments: z.strictObject({
    trial: z.string().min(1, 'the name of the trial environment'),
    production: z.string().min(1, 'the name of the production environment')
  }).readonly(),
  /** Admin addresses by instance id. */
  admin: z.record(z.string(), url).default({}),
  /** File with the bearer token of the admin interface. */
  adminTokenFile: z.string().optional()
}).readonly()

/** Settings of the operator. */
export type OperatorSettings = z.infer<typeof operatorSettingsSchema>
