package policy

import "github.com/loomgrade/loomgrade/internal/port"

// CheckConfiguration returns an error if a policy program of the configuration fails its
// dry run. The error is a *port.Error that names the pool.
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
