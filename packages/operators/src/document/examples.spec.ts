import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { formatLocatedError, loadSettings, readJsonc } from '@lovagehoist/common'
import type { LocatedError } from '@lovagehoist/common'
import type { Result } from 'neverthrow'
import { operatorSettingsSchema } from '../cli/operatorSettings.js'
import { checkDocument } from './checkDocument.js'

const readers: Readonly<Record<string, (file: string, text: string) => Result<unknown, readonly LocatedError[]>>> = {
  'umuriro.jsonc': checkDocument,
  'talcas.jsonc': checkDocument,
  'daemon.jsonc': loadSettings,
  'operator.jsonc': (file, text) => readJsonc(file, text, operatorSettingsSchema)
}

describe('examples', () => {
  for (const [file, read] of Object.entries(readers)) {
    it(`${file} is valid`, () => {
      const text = readFileSync(new URL(`../../../../examples/${file}`, import.meta.url), 'utf8')
      const result = read(file, text)
      expect(result.isErr() ? result.error.map(formatLocatedError) : []).to.deep.equal([])
    })
  }
})
