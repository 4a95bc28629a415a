/** Plays a case and ends the script with its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export const runCase = play => {
  play().then(
    code => { process.exit(code) },
    error => {
      console.error(error)
      process.exit(2)
    })
}

/** Whether the disruption is played. */
export const hasTrouble = process.env.TROUBLE !== '0'
