package policy

import "github.com/loomgrade/loomgrade/internal/port"

// CheckConfiguration refuses a configuration that holds a policy program which
// does not pass its dry run. The error is a *port.Error naming the pool.
func CheckConfiguration(configuration port.Configuration) error {
	for _, pool := range configuration.Pools {
		if pool.Sampling == nil {
			continue
		}
		if _, err := Check(pool.Sampling.Policy); err != nil {
			field := "pools." + string(pool.Name) + ".sampling.policy"
			return port.InvalidField(field, err.Error(), "a program that passes its dry run")
		}
	}
	return nil
}
